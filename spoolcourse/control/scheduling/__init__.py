"""The scheduling loop: snapshots for the placement pass, and what is done with its plans."""
