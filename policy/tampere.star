# tampere: batch requests (overnight summaries) wait until an upstream has enough
# of them to run the engine with full batches. The scheduler runs interactive
# requests first, whatever the policy says.

# Number of batch requests queued at one upstream that starts a run.
RUN = 96

def slot(a):
    value = 4.0 * a.rate
    if a.waiting > 0:
        value += a.waiting + 0.05 * a.waiting_seconds
    return value + min(0.01 * a.batch_waiting, 0.1)

def hold(r):
    if r.batch_running > 0 or r.batch_queued >= RUN:
        return 0.0
    return 1800.0

def order(r):
    return 0.0
