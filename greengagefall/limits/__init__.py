"""Limits on load: admission queues, concurrency limits, caller limits and retry budgets."""
