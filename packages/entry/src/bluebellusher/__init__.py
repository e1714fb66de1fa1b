"""Entry process and operator commands of the bluebellusher load balancer."""
