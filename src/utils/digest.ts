/** Digests of bytes and of canonical JSON. */
import { createHash } from 'node:crypto'

/** SHA-256 in hexadecimal. */
export function digestBytes (bytes: string | Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex')
}

/** JSON with sorted object keys, so that equal values have equal texts. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, member: unknown) => sortKeys(member))
}

/** SHA-256 of the canonical JSON of a value, in hexadecimal. */
export function digestValue (value: unknown): string {
  return digestBytes(canonicalJson(value))
}

function sortKeys (value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value
  return Object.fromEntries(Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1))
}
