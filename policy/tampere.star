# tampere: overnight summaries wait until an engine has a batch's worth of them
# and then run together, so that its steps are full. Interactive work comes
# first, as the mechanism sees to.

# Batch requests that start a run, at one engine.
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
