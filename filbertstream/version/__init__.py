"""State whose lifetime is one version of the configuration or of a model's weights."""
