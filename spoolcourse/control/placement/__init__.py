"""The pure placement pass and its snapshot."""
