"""Decision bench: the policy code against baselines on virtual time."""
