"""The replicated logs of a control instance."""
