"""State that every entry instance derives from the platform's log.

The log is the only source of truth for the configuration, the crews, the terms
of singleton jobs, moves (version rollouts) and operator notices. This package
reads it, applies its records in order, and appends new records to it.
"""
