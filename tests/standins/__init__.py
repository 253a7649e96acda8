"""Small programs that replace external systems in tests."""
