//! Damage to JSON bodies.

use serde_json::{Value, json};

/// Values that take the place of a field.
fn replacements() -> [Value; 8] {
    [
        json!(null),
        json!(u64::MAX),
        json!(-1),
        json!(1.5e300),
        json!(""),
        json!([]),
        json!({}),
        json!(true),
    ]
}

/// Returns a damaged copy of a JSON body: cut off, with a changed byte, or with one field
/// replaced. `random` selects the damage.
pub fn mutate(body: &[u8], random: u64) -> Vec<u8> {
    let position = (random >> 8) as usize % body.len().max(1);
    match random % 4 {
        0 => body[..position].to_vec(),
        1 => {
            let mut body = body.to_vec();
            if let Some(byte) = body.get_mut(position) {
                *byte = (random >> 40) as u8;
            }
            body
        }
        _ => {
            let Ok(mut value) = serde_json::from_slice::<Value>(body) else {
                return body.to_vec();
            };
            let mut count = 0;
            count_fields(&value, &mut count);
            let mut chosen = (random >> 8) as usize % count.max(1);
            let replacement = replacements()[(random >> 40) as usize % 8].clone();
            replace(&mut value, &mut chosen, &replacement);
            value.to_string().into_bytes()
        }
    }
}

fn count_fields(value: &Value, count: &mut usize) {
    *count += 1;
    match value {
        Value::Object(fields) => fields.values().for_each(|it| count_fields(it, count)),
        Value::Array(items) => items.iter().for_each(|it| count_fields(it, count)),
        _ => {}
    }
}

/// Replaces the value with the number `chosen` in depth-first order.
fn replace(value: &mut Value, chosen: &mut usize, replacement: &Value) -> bool {
    if *chosen == 0 {
        *value = replacement.clone();
        return true;
    }
    *chosen -= 1;
    match value {
        Value::Object(fields) => fields
            .values_mut()
            .any(|it| replace(it, chosen, replacement)),
        Value::Array(items) => items.iter_mut().any(|it| replace(it, chosen, replacement)),
        _ => false,
    }
}
