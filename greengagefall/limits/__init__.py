"""Limits library: admission, concurrency limits, retry budgets."""
