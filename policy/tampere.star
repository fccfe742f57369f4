# tampere: overnight summaries wait until there are steps to share, so that
# steps are full. Interactive work comes first, as the mechanism sees to.

def slot(a):
    value = 4.0 * a.rate
    if a.waiting > 0:
        value += a.waiting + 0.05 * a.waiting_seconds
    return value + 0.2 * a.batch_waiting

def hold(r):
    if r.resident and r.running >= 1:
        return 0.0
    if r.waiting >= 6:
        return 0.0
    return 1800.0

def order(r):
    # Short answers first within a class; age still decides after 20 s.
    return r.output_tokens
