"""Reports on streams that continue at a second endpoint."""
