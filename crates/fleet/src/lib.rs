//! VMs: reclaim notices, drains, starts, cost and the pace of model loads.
