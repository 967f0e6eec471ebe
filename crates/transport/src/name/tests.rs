use super::*;

#[test]
fn names_have_a_maximum_length_and_plain_characters() {
    assert_eq!(Name::new(""), Err(NameError::Empty));
    assert_eq!(Name::new(&"a".repeat(65)), Err(NameError::TooLong(65)));
    assert_eq!(Name::new("n 1"), Err(NameError::Character(' ')));
    assert!(Name::new("lahore-main.n_3").is_ok());
}
