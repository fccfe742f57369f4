# zurich: users wait for the answer in person, so load stalls weigh most. Batch
# requests run next to interactive ones on adapters that are loaded anyway, and
# hardly ever cause a load.

def slot(a):
    value = 4.0 * a.rate
    if a.waiting > 0:
        value += a.waiting + 0.05 * a.waiting_seconds
    return value + min(0.0005 * a.batch_waiting, 0.01)

def hold(r):
    if r.resident and r.running > 0:
        return 0.0
    return 1800.0

def order(r):
    return 0.0
