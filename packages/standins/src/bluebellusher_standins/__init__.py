"""Stand-ins for engines, plain services and the platform, for tests and demos."""
