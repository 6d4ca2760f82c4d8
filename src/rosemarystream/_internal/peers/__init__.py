"""Connections between entry hosts: forwarded requests and control messages."""
