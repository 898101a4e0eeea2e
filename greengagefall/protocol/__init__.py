"""Inner protocol between greengagefall's processes."""
