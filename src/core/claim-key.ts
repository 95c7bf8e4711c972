/** Digest that names the one run of a non-idempotent request. */
import { digestValue } from '../utils/digest.js'

/** What makes two requests the same run. */
export interface ClaimScope {
  readonly organisation: string
  readonly service: string
  readonly operation: string
  readonly idempotencyKey: string
}

/** SHA-256 in hexadecimal over organisation, service, operation and Idempotency-Key. */
export function claimKey (scope: ClaimScope): string {
  const { organisation, service, operation, idempotencyKey } = scope
  return digestValue([organisation, service, operation, idempotencyKey])
}
