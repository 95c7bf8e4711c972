/** Checks a caller's request and collects every fault with its place. */
import { z } from 'zod'
import type { Finding } from '../errors.js'
import type { Service } from '../types/configuration.js'
import { headers } from '../types/messages.js'
import { digestBytes } from '../utils/digest.js'
import { fingerprintOf } from './quarantine.js'

const maximumDeadlineMilliseconds = 24 * 3600 * 1000
const maximumAnswerTokens = 1 << 20
const prefixCharacters = 256
const modelOperation = 'completions'
const operationPattern = /^[a-z0-9][a-z0-9-]{0,62}$/
const idempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/
const deadlinePattern = /^\d{1,15}$/

const modelBodySchema = z.object({
  prompt: z.string().min(1),
  maximumTokens: z.number().int().positive().max(maximumAnswerTokens)
}).readonly()

/** What a model engine is asked. */
export type ModelBody = z.infer<typeof modelBodySchema>

/** Request as it came from the caller. */
export interface RawRequest {
  readonly id: string
  readonly service: string
  readonly operation: string
  readonly organisation: string
  /** Deadline header, empty for none. */
  readonly deadline: string
  readonly idempotencyKey: string
  /** Prefix header, empty for none. */
  readonly prefix: string
  readonly traceParent: string
  readonly body: Buffer
}

/** Request that passed every check. */
export interface CallerRequest {
  readonly id: string
  readonly service: string
  readonly operation: string
  readonly organisation: string
  /** Epoch milliseconds. */
  readonly deadline: number
  readonly idempotencyKey: string
  /** Whether the operation may run at most once. */
  readonly nonIdempotent: boolean
  readonly traceParent: string
  readonly body: Buffer
  /** Undefined for a plain service. */
  readonly model: ModelBody | undefined
  /** SHA-256 of the content, for quarantine. */
  readonly fingerprint: string
  /** SHA-256 that names the prompt's prefix, empty for a plain service. */
  readonly prefix: string
}

/** What the check needs besides the request. */
export interface CheckContext {
  readonly service: Service
  /** Epoch milliseconds. */
  readonly now: number
  /** Deadline of a request that states none, epoch milliseconds. */
  readonly defaultDeadline: number
}

/** The checked request, or all findings. */
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

/** Whether the result of `checkRequest` is a refusal. */
export function isRefused (result: CallerRequest | readonly Finding[]): result is readonly Finding[] {
  return Array.isArray(result)
}

/** Digest that names a prefix of a prompt; requests that share it may share an engine's cache. */
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
