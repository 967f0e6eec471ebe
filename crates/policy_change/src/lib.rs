//! A change of policy takes hold everywhere or nowhere: versions, leases on a version, a barrier.
