//! Extensions: the fields that a message has gained since version 1 of the protocol.
//!
//! Messages are encoded by position, so a field inside a message would be misread by an older build. The codec passes
//! over bytes that follow a message, though. An extension is a sequence of fields behind the message, each with a tag
//! and a length. A build passes over the tags that it does not know, and gives a default to each field that is absent.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::de;

/// A field of an extension.
pub trait Field: Serialize + de::DeserializeOwned {
    /// The tag, unique among the fields of one kind of message and never used for another field.
    const TAG: u32;
}

/// The encoded fields that follow a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Extension {
    fields: BTreeMap<u32, Vec<u8>>,
}

/// One field as it is encoded.
type Encoded<'a> = (u32, &'a [u8]);

impl Extension {
    /// Returns an extension with one field.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec fails to encode the field.
    pub fn of<F: Field>(field: &F) -> Result<Extension, postcard::Error> {
        let mut extension = Extension::default();
        extension.set(field)?;
        Ok(extension)
    }

    /// Sets a field.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec fails to encode it.
    pub fn set<F: Field>(&mut self, field: &F) -> Result<(), postcard::Error> {
        self.fields.insert(F::TAG, postcard::to_stdvec(field)?);
        Ok(())
    }

    /// Returns a field, or nothing if the sender did not set it.
    ///
    /// # Errors
    ///
    /// Returns an error if the field cannot be decoded.
    pub fn get<F: Field>(&self) -> Result<Option<F>, postcard::Error> {
        let field = self.fields.get(&F::TAG);
        field.map(|bytes| postcard::from_bytes(bytes)).transpose()
    }

    /// Encodes a message followed by this extension.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec fails to encode the message.
    pub fn encode_after<M: Serialize>(&self, message: &M) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_stdvec(message)?;
        for (tag, field) in &self.fields {
            let field: Encoded<'_> = (*tag, field);
            bytes.extend_from_slice(&postcard::to_stdvec(&field)?);
        }
        Ok(bytes)
    }

    /// Decodes a message and the extension that follows it.
    ///
    /// # Errors
    ///
    /// Returns an error if either is malformed.
    pub fn decode_after<M: de::DeserializeOwned>(
        bytes: &[u8],
    ) -> Result<(M, Extension), postcard::Error> {
        let (message, mut rest) = postcard::take_from_bytes(bytes)?;
        let mut extension = Extension::default();
        while !rest.is_empty() {
            let ((tag, field), after): (Encoded<'_>, _) = postcard::take_from_bytes(rest)?;
            extension.fields.insert(tag, field.to_vec());
            rest = after;
        }
        Ok((message, extension))
    }
}
