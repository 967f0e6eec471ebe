use super::*;

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    let all = [
        ("connection", "close, X-Private"),
        ("connection", "Keep-Alive,, not a name"),
        ("keep-alive", "timeout=5"),
        ("x-private", "1"),
        ("x-private", "2"),
        ("te", "trailers"),
        ("content-length", "3"),
        ("x-txn", "7"),
        ("cookie", "m=1"),
        ("cookie", "n=2"),
    ];
    for (name, value) in all {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    remove_hop_by_hop_headers(&mut headers);
    let mut left: Vec<_> = headers.iter().map(|(n, v)| (n.as_str(), v.to_str().unwrap_or("?"))).collect();
    left.sort_unstable();
    assert_eq!(left, [("cookie", "m=1"), ("cookie", "n=2"), ("x-txn", "7")]);
}
