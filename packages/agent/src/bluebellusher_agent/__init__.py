"""Endpoint agent of the bluebellusher load balancer."""
