"""Who owns which keys: ranges, their moves, and the load that decides them."""
