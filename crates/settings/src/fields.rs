//! Values of a JSON object, each read with the words that are wanted where it is not what it should be.

use std::borrow::Cow;

use serde_json::{Map, Value};

/// A value that cannot be understood, in words that name it.
pub type FieldError = String;

/// A number.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn number(value: &Value, what: &str) -> Result<f64, FieldError> {
    value.as_f64().ok_or_else(|| format!("{what}: number expected"))
}

/// A whole number, also one written as a decimal.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn integer(value: &Value, what: &str) -> Result<u64, FieldError> {
    let float = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(float).ok_or_else(|| format!("{what}: whole number expected"))
}

/// A number, or null.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn optional_number(value: &Value, what: &str) -> Result<Option<f64>, FieldError> {
    if value.is_null() {
        Ok(None)
    } else {
        number(value, what).map(Some)
    }
}

/// A text.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn string<'a>(value: &'a Value, what: &str) -> Result<&'a str, FieldError> {
    value.as_str().ok_or_else(|| format!("{what}: text expected"))
}

/// An array.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn list<'a>(value: &'a Value, what: &str) -> Result<&'a Vec<Value>, FieldError> {
    value.as_array().ok_or_else(|| format!("{what}: array expected"))
}

/// What a number may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// Above 0.
    Positive,
    /// 0 or above.
    NonNegative,
    /// From 0 to 1.
    Share,
}

impl Range {
    /// Why this number is outside; `None` where it is inside.
    fn outside(self, value: f64) -> Option<&'static str> {
        let (inside, why) = match self {
            Self::Positive => (value > 0.0, "must be above 0"),
            Self::NonNegative => (value >= 0.0, "must not be negative"),
            Self::Share => ((0.0..=1.0).contains(&value), "a share is from 0 to 1"),
        };
        if !value.is_finite() {
            return Some("must be finite");
        }
        (!inside).then_some(why)
    }
}

/// The fields of one object.
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: Cow<'a, str>,
}

impl<'a> Fields<'a> {
    /// The fields of an object.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn from_value(value: &'a Value, path: impl Into<Cow<'a, str>>) -> Result<Self, FieldError> {
        let path = path.into();
        let map = value.as_object().ok_or_else(|| format!("{path}: object expected"))?;
        Ok(Self { map, path })
    }

    /// Where a field stands.
    pub fn path(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// A field that is there and not null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|v| !v.is_null())
    }

    /// A field that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn require(&self, key: &str) -> Result<&'a Value, FieldError> {
        self.get(key).ok_or_else(|| format!("{} is missing", self.path(key)))
    }

    /// What a reader makes of a field that must be there; its words on what is wrong follow the field's name.
    fn read<T>(
        &self,
        key: &str,
        reader: impl FnOnce(&'a Value, &str) -> Result<T, FieldError>,
    ) -> Result<T, FieldError> {
        reader(self.require(key)?, key).map_err(|e| format!("{}.{e}", self.path))
    }

    /// A number that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn number(&self, key: &str) -> Result<f64, FieldError> {
        self.read(key, number)
    }

    /// A number that must be there and inside a range.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn number_in(&self, key: &str, range: Range) -> Result<f64, FieldError> {
        let value = self.number(key)?;
        match range.outside(value) {
            None => Ok(value),
            Some(why) => Err(format!("{}: {value}: {why}", self.path(key))),
        }
    }

    /// The same of one that may be absent.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn optional_number_in(&self, key: &str, range: Range) -> Result<Option<f64>, FieldError> {
        self.get(key).map(|_| self.number_in(key, range)).transpose()
    }

    /// A whole number that must be there, `least` or above.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn integer_at_least(&self, key: &str, least: u64) -> Result<u64, FieldError> {
        let value = self.read(key, integer)?;
        if value < least {
            return Err(format!("{}: {value}: {least} is needed at least", self.path(key)));
        }
        Ok(value)
    }

    /// A flag that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn flag(&self, key: &str) -> Result<bool, FieldError> {
        let flag = |v: &Value, key: &str| v.as_bool().ok_or_else(|| format!("{key}: true or false expected"));
        self.read(key, flag)
    }

    /// A text that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn string(&self, key: &str) -> Result<&'a str, FieldError> {
        self.read(key, string)
    }

    /// What a word that must be there stands for.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn choice<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, FieldError> {
        let word = self.string(key)?;
        words.iter().find(|(name, _)| *name == word).map(|(_, meaning)| *meaning).ok_or_else(|| {
            let known: Vec<&str> = words.iter().map(|(name, _)| *name).collect();
            format!("{}: {word} is unknown, known are {}", self.path(key), known.join(", "))
        })
    }

    /// An array; one that is absent is empty.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn list(&self, key: &str) -> Result<&'a [Value], FieldError> {
        self.get(key).map_or(Ok(&[]), |_| self.read(key, list).map(Vec::as_slice))
    }

    /// The objects of an array, with their places; one that is absent is empty.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn objects(&self, key: &str) -> Result<Vec<Fields<'a>>, FieldError> {
        let of = |(n, value)| Fields::from_value(value, format!("{}[{n}]", self.path(key)));
        self.list(key)?.iter().enumerate().map(of).collect()
    }

    /// An object that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn object(&self, key: &str) -> Result<Fields<'a>, FieldError> {
        Fields::from_value(self.require(key)?, self.path(key))
    }
}

/// The names of some objects, by their field `Name`: none is empty and none comes twice.
///
/// # Errors
/// Names the field.
pub fn names(objects: &[Fields]) -> Result<Vec<String>, FieldError> {
    let mut names: Vec<String> = Vec::with_capacity(objects.len());
    for object in objects {
        let name = object.string("Name")?;
        if name.is_empty() {
            return Err(format!("{}: empty", object.path("Name")));
        }
        if names.iter().any(|n| n == name) {
            return Err(format!("{}: {name} comes twice", object.path("Name")));
        }
        names.push(name.to_string());
    }
    Ok(names)
}
