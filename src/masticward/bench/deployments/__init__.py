"""Configuration files of the deployments that the demo and the benches use."""
