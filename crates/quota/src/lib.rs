//! Quotas a tenant over all nodes: leases that the log grants, spent without a message.
