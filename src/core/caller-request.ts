/** Validates a caller's request and collects all findings with their places. */
import { z } from 'zod'
import type { Finding } from '../errors.js'
import type { Service } from '../types/configuration.js'
import { headers } from '../types/messages.js'
import { digestBytes } from '../utils/digest.js'
import { fingerprintOf } from './quarantine.js'

/** Longest time from now to a deadline that a caller may set. */
const maximumDeadlineMilliseconds = 24 * 3600 * 1000
const maximumAnswerTokens = 1 << 20
/** Characters of a prompt that count as its prefix. */
const prefixCharacters = 256
const modelOperation = 'completions'
const operationPattern = /^[a-z0-9][a-z0-9-]{0,62}$/
/** Visible ASCII characters. */
const idempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/
const deadlinePattern = /^\d{1,15}$/

const modelBodySchema = z.object({
  prompt: z.string().min(1),
  maximumTokens: z.number().int().positive().max(maximumAnswerTokens)
}).readonly()

/** Body of a request to a model service. */
export type ModelBody = z.infer<typeof modelBodySchema>

/** Request as received from the caller, before validation. */
export interface RawRequest {
  readonly id: string
  readonly service: string
  readonly operation: string
  readonly organisation: string
  /** Deadline header in epoch milliseconds, empty for none. */
  readonly deadline: string
  readonly idempotencyKey: string
  /** Prefix header, empty for none. */
  readonly prefix: string
  readonly traceParent: string
  readonly body: Buffer
}

/** Validated request. */
export interface CallerRequest {
  readonly id: string
  readonly service: string
  readonly operation: string
  readonly organisation: string
  /** Epoch milliseconds. */
  readonly deadline: number
  readonly idempotencyKey: string
  /** Whether the operation may run only once. */
  readonly nonIdempotent: boolean
  readonly traceParent: string
  readonly body: Buffer
  /** Undefined for a plain service. */
  readonly model: ModelBody | undefined
  /** SHA-256 of service, operation and body, which identifies crashing requests; empty without a body. */
  readonly fingerprint: string
  /** Digest of the prompt's prefix (`prefixKey`), empty for a plain service. */
  readonly prefix: string
}

/** Input of the validation besides the request. */
export interface CheckContext {
  readonly service: Service
  /** Epoch milliseconds. */
  readonly now: number
  /** Deadline of a request without a deadline header, epoch milliseconds. */
  readonly defaultDeadline: number
}

/** Validates a request; returns the request, or all findings. */
export function checkRequest (raw: RawRequest, context: CheckContext): CallerRequest | readonly Finding[] {
  const { service } = context
  const nonIdempotent = service.kind === 'plain' && service.nonIdempotent.includes(raw.operation)
  const body = service.kind === 'model' ? readModelBody(raw.body) : { model: undefined, findings: [] }
  const findings = [...checkOperation(raw, service), ...checkDeadline(raw, context), ...checkIdempotencyKey(raw, nonIdempotent), ...body.findings]
  if (findings.length > 0) return findings
  const { id, operation, organisation, idempotencyKey, traceParent } = raw
  return {
    id,
    service: raw.service,
    operation,
    organisation,
    deadline: raw.deadline === '' ? context.defaultDeadline : Number(raw.deadline),
    idempotencyKey,
    nonIdempotent,
    traceParent,
    body: raw.body,
    model: body.model,
    fingerprint: fingerprintOf(raw.service, operation, raw.body),
    prefix: body.model === undefined ? '' : prefixKey(raw.service, organisation, raw.prefix === '' ? body.model.prompt : raw.prefix)
  }
}

/** Whether `checkRequest` returned findings. */
export function isRefused (result: CallerRequest | readonly Finding[]): result is readonly Finding[] {
  return Array.isArray(result)
}

/** SHA-256 of service, organisation and the start of the prompt; requests with the same digest may share an engine's cache. */
export function prefixKey (service: string, organisation: string, prompt: string): string {
  return digestBytes(`${service}\u0000${organisation}\u0000${prompt.slice(0, prefixCharacters)}`)
}

function checkOperation (raw: RawRequest, service: Service): readonly Finding[] {
  if (service.kind === 'model' && raw.operation !== modelOperation) return [{ place: 'path', problem: `a model service only takes the operation ${modelOperation}` }]
  if (!operationPattern.test(raw.operation)) return [{ place: 'path', problem: 'the operation must be lower-case letters, digits and hyphens' }]
  return []
}

function checkDeadline (raw: RawRequest, context: CheckContext): readonly Finding[] {
  if (raw.deadline === '') return []
  const place = `header ${headers.deadline}`
  if (!deadlinePattern.test(raw.deadline)) return [{ place, problem: 'must be epoch milliseconds' }]
  if (Number(raw.deadline) > context.now + maximumDeadlineMilliseconds) return [{ place, problem: 'must be within a day' }]
  return []
}

function checkIdempotencyKey (raw: RawRequest, nonIdempotent: boolean): readonly Finding[] {
  const place = `header ${headers.idempotencyKey}`
  if (raw.idempotencyKey === '') return nonIdempotent ? [{ place, problem: 'is needed for an operation that may not be repeated' }] : []
  return idempotencyKeyPattern.test(raw.idempotencyKey) ? [] : [{ place, problem: 'must be 1 to 255 visible characters' }]
}

function readModelBody (body: Buffer): { readonly model: ModelBody | undefined, readonly findings: readonly Finding[] } {
  const value = parseJson(body)
  if (value === undefined) return { model: undefined, findings: [{ place: 'body', problem: 'must be JSON' }] }
  const parsed = modelBodySchema.safeParse(value)
  if (parsed.success) return { model: parsed.data, findings: [] }
  return { model: undefined, findings: parsed.error.issues.map(issue => ({ place: ['body', ...issue.path].map(String).join('.'), problem: issue.message })) }
}

function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch {
    return undefined
  }
}
