"""Process settings read from flags and environment variables."""
