# zurich: a passenger is standing at the host, so load stalls weigh most.
# Batch work is rare here and is held only while nothing else runs.

def slot(a):
    value = 4.0 * a.rate
    if a.waiting > 0:
        value += a.waiting + 0.05 * a.waiting_seconds
    return value + 0.02 * a.batch_waiting

def hold(r):
    if r.running > 0 and r.resident:
        return 0.0
    return 60.0

def order(r):
    return 0.0
