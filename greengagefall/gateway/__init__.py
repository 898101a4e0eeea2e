"""An entry host as a single process, on a platform with numbered keys."""
