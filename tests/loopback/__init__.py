"""Controllers as real processes on loopback, against the fakes served over HTTP, and a checker."""
