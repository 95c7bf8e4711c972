/** Signatures of change records: Ed25519 over the canonical JSON of the record without its signature. */
import { createPublicKey, sign, verify, type KeyObject } from 'node:crypto'
import type { ChangeRecord, Configuration } from '../../types/configuration.js'
import { canonicalJson } from '../../utils/digest.js'

/** Record signed with a private Ed25519 key; the signature is in base64. */
export function signChange (record: ChangeRecord, key: KeyObject): ChangeRecord {
  return { ...record, signature: sign(null, signedBytes(record), key).toString('base64') }
}

/** Whether a record is signed by one of the operator keys of the configuration; without keys every record is authorised. */
export function isAuthorised (configuration: Configuration | undefined, record: ChangeRecord): boolean {
  const keys = configuration?.deployment.operatorKeys ?? []
  if (keys.length === 0) return true
  const { signature } = record
  if (signature === undefined) return false
  const bytes = signedBytes(record)
  return keys.some(key => isValidSignature(key, bytes, Buffer.from(signature, 'base64')))
}

function isValidSignature (key: string, bytes: Buffer, signature: Buffer): boolean {
  try {
    return verify(null, bytes, createPublicKey({ key: Buffer.from(key, 'base64'), format: 'der', type: 'spki' }), signature)
  } catch {
    return false
  }
}

function signedBytes ({ signature: _signature, ...signed }: ChangeRecord): Buffer {
  return Buffer.from(canonicalJson(signed))
}
