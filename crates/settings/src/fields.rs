//! Values of a JSON object, each read with the words that are wanted where it is not what it should be.

use std::borrow::Cow;

use serde_json::{Map, Value};

/// A value that cannot be understood, in words that name it.
pub type WireError = String;

/// A number.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn number(value: &Value, what: &str) -> Result<f64, WireError> {
    value.as_f64().ok_or_else(|| format!("{what}: number expected"))
}

/// A whole number, also one written as a decimal.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn whole(value: &Value, what: &str) -> Result<u64, WireError> {
    let float = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(float).ok_or_else(|| format!("{what}: whole number expected"))
}

/// A number, or null.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn optional(value: &Value, what: &str) -> Result<Option<f64>, WireError> {
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
pub fn text<'a>(value: &'a Value, what: &str) -> Result<&'a str, WireError> {
    value.as_str().ok_or_else(|| format!("{what}: text expected"))
}

/// An array.
///
/// # Errors
/// Names `what`, and what was expected.
pub fn list<'a>(value: &'a Value, what: &str) -> Result<&'a Vec<Value>, WireError> {
    value.as_array().ok_or_else(|| format!("{what}: array expected"))
}

/// What a number may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// Above 0.
    Positive,
    /// 0 or above.
    Amount,
    /// From 0 to 1.
    Share,
}

impl Range {
    /// Why this number is outside; `None` where it is inside.
    fn outside(self, value: f64) -> Option<&'static str> {
        let (inside, why) = match self {
            Self::Positive => (value > 0.0, "must be above 0"),
            Self::Amount => (value >= 0.0, "must not be negative"),
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
    pub fn of(value: &'a Value, path: impl Into<Cow<'a, str>>) -> Result<Self, WireError> {
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
    pub fn need(&self, key: &str) -> Result<&'a Value, WireError> {
        self.get(key).ok_or_else(|| format!("{} is missing", self.path(key)))
    }

    /// What a reader makes of a field that must be there; its words on what is wrong follow the field's name.
    fn read<T>(
        &self,
        key: &str,
        reader: impl FnOnce(&'a Value, &str) -> Result<T, WireError>,
    ) -> Result<T, WireError> {
        reader(self.need(key)?, key).map_err(|e| format!("{}.{e}", self.path))
    }

    /// A number that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn number(&self, key: &str) -> Result<f64, WireError> {
        self.read(key, number)
    }

    /// A number that must be there and inside a range.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn within(&self, key: &str, range: Range) -> Result<f64, WireError> {
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
    pub fn within_if_there(&self, key: &str, range: Range) -> Result<Option<f64>, WireError> {
        self.get(key).map(|_| self.within(key, range)).transpose()
    }

    /// A whole number that must be there, `least` or above.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn count(&self, key: &str, least: u64) -> Result<u64, WireError> {
        let value = self.read(key, whole)?;
        if value < least {
            return Err(format!("{}: {value}: {least} is needed at least", self.path(key)));
        }
        Ok(value)
    }

    /// A flag that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn flag(&self, key: &str) -> Result<bool, WireError> {
        let flag = |v: &Value, key: &str| v.as_bool().ok_or_else(|| format!("{key}: true or false expected"));
        self.read(key, flag)
    }

    /// A text that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn text(&self, key: &str) -> Result<&'a str, WireError> {
        self.read(key, text)
    }

    /// What a word that must be there stands for.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, WireError> {
        let word = self.text(key)?;
        words.iter().find(|(name, _)| *name == word).map(|(_, meaning)| *meaning).ok_or_else(|| {
            let known: Vec<&str> = words.iter().map(|(name, _)| *name).collect();
            format!("{}: {word} is unknown, known are {}", self.path(key), known.join(", "))
        })
    }

    /// An array; one that is absent is empty.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn list(&self, key: &str) -> Result<&'a [Value], WireError> {
        self.get(key).map_or(Ok(&[]), |_| self.read(key, list).map(Vec::as_slice))
    }

    /// The objects of an array, with their places; one that is absent is empty.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn objects(&self, key: &str) -> Result<Vec<Fields<'a>>, WireError> {
        let of = |(n, value)| Fields::of(value, format!("{}[{n}]", self.path(key)));
        self.list(key)?.iter().enumerate().map(of).collect()
    }

    /// An object that must be there.
    ///
    /// # Errors
    /// Names the field, and what was expected.
    pub fn object(&self, key: &str) -> Result<Fields<'a>, WireError> {
        Fields::of(self.need(key)?, self.path(key))
    }
}

/// The names of some objects, by their field `Name`: none is empty and none comes twice.
///
/// # Errors
/// Names the field.
pub fn names(objects: &[Fields]) -> Result<Vec<String>, WireError> {
    let mut names: Vec<String> = Vec::with_capacity(objects.len());
    for object in objects {
        let name = object.text("Name")?;
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
