"""Settings of the programs: YAML, schema and defaults."""
