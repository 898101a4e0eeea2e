"""The single process of an entry host on a platform with numbered keys."""
