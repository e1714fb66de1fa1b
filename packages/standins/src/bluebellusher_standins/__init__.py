"""Stand-ins for engines, plain services and the platform, used in tests and demos."""
