/** Schemas of the configuration that operators apply, and of the records in the platform's log. */
import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')
const positiveInteger = z.number().int().positive()
const digest = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal')
/** Public Ed25519 key, SPKI in DER, base64. */
export const operatorKey = z.string().regex(/^MCowBQYDK2VwAyEA[A-Za-z0-9+/]{43}=$/, 'must be a public Ed25519 key, SPKI as DER in base64')
const epochMilliseconds = z.number().int().nonnegative()

/** Priority classes, most urgent first. */
export const priorities = ['urgent', 'normal', 'background'] as const

/** Properties of the whole deployment. */
export const deploymentSchema = z.object({
  name,
  /** Preference of the swap pacing: `replicas` swaps more instances at once, `service` keeps more of them available. */
  weighting: z.enum(['replicas', 'service']),
  /** Data centre of the platform's log. */
  logDataCentre: name,
  /** What a node does with new work once it can confirm its configuration neither by the log nor by peers. */
  whenIsolated: z.enum(['refuse', 'serve']),
  /** Public keys of operators. If there are any, every change must be signed with one of them. */
  operatorKeys: z.array(operatorKey).readonly().optional()
}).readonly()

/** A data centre; in state `out` it takes no new work. */
export const dataCentreSchema = z.object({
  region: name,
  state: z.enum(['in', 'out'])
}).readonly()

/** An organisation and its limits. */
export const organisationSchema = z.object({
  /** Weight in fair queueing, relative to other organisations. */
  share: z.number().positive(),
  priority: z.enum(priorities),
  /** Maximum retries a second that an entry makes for this organisation. */
  retriesPerSecond: z.number().positive()
}).readonly()

const bounds = {
  /** Concurrency limit of an upstream just after a cold start, in requests. */
  coldBound: positiveInteger,
  /** Maximum concurrency limit of a warm upstream, in requests. */
  fullBound: positiveInteger,
  /** Time to the first byte above which an answer halves the concurrency limit instead of raising it, milliseconds. */
  firstByteTargetMilliseconds: positiveInteger
}

/** A service of model engines. */
export const modelServiceSchema = z.object({
  kind: z.literal('model'),
  ...bounds,
  /** Whether the engines refuse an order with an outdated fencing token. */
  fencing: z.enum(['checked', 'ignored'])
}).readonly()

/** A plain service, such as a ledger or a booking service. */
export const plainServiceSchema = z.object({
  kind: z.literal('plain'),
  ...bounds,
  /** Operations that must not be repeated. */
  nonIdempotent: z.array(name).readonly()
}).readonly()

/** A service of model engines or a plain service, distinguished by `kind`. */
export const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema])

/** Rollout intent: which weights serve which organisations, where, and by when. */
export const intentSchema = z.object({
  id: name,
  service: name,
  model: name,
  adapter: name.nullable(),
  version: z.string().min(1).max(64),
  /** Digest of the manifest, which identifies the exact weights. */
  manifest: digest,
  organisations: z.array(name).min(1).readonly(),
  dataCentres: z.array(name).min(1).readonly(),
  /** Deadline by which every instance should serve it, epoch milliseconds. */
  finishBy: epochMilliseconds
}).readonly()

/** Complete configuration of a deployment. */
export const configurationSchema = z.object({
  deployment: deploymentSchema,
  dataCentres: z.record(name, dataCentreSchema).readonly(),
  organisations: z.record(name, organisationSchema).readonly(),
  services: z.record(name, serviceSchema).readonly(),
  intents: z.record(name, intentSchema).readonly()
}).readonly()

/** One change of the configuration; its kind and name determine the scope. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('replace'), configuration: configurationSchema }).readonly(),
  z.object({ kind: z.literal('data-centre'), dataCentre: name, state: z.enum(['in', 'out']) }).readonly(),
  z.object({ kind: z.literal('intent'), intent: intentSchema }).readonly(),
  z.object({ kind: z.literal('withdraw'), intent: name }).readonly()
])

/** Record of an operator's change. `basedOn` is the revision of its scope that the operator saw; if the scope has changed since, the fold refuses the record. */
export const changeRecordSchema = z.object({
  type: z.literal('change'),
  id: z.string().min(1).max(64),
  basedOn: z.number().int().min(-1),
  author: z.string().min(1).max(128),
  /** Epoch milliseconds by the clock of the operator's machine, for display only. */
  at: epochMilliseconds,
  change: changeSchema,
  /** Ed25519 signature in base64; required if the configuration in force lists operator keys. */
  signature: z.string().max(128).optional()
}).readonly()

/** Record of the fold's state after offset `asOf`. Recovery starts from it once older records have expired. */
export const snapshotRecordSchema = z.object({
  type: z.literal('snapshot'),
  id: z.string().min(1).max(64),
  asOf: z.number().int().min(-1),
  digest,
  revision: z.number().int().min(-1),
  revisions: z.record(z.string(), z.number().int()).readonly(),
  configuration: configurationSchema
}).readonly()

/** A record of the configuration stream. */
export const configurationRecordSchema = z.discriminatedUnion('type', [changeRecordSchema, snapshotRecordSchema])

/** Lease of one agent to send orders to an instance's engine; the record's offset is the fencing token. */
export const leaseRecordSchema = z.object({
  type: z.literal('lease'),
  id: z.string().min(1).max(64),
  instance: name,
  incarnation: z.string().min(1).max(64),
  /** Offset of the first record that its agent had not read; without effect if another lease of the instance was written since. */
  after: z.number().int().nonnegative().optional()
}).readonly()

/** `claim` reserves the single run of a non-idempotent request; `release` revokes the claim with the same id, whose request was never sent. */
export const claimRecordSchema = z.object({
  type: z.enum(['claim', 'release']),
  id: z.string().min(1).max(64),
  /** SHA-256 of organisation, service, operation and Idempotency-Key. */
  key: digest,
  /** SHA-256 of the request's body, to refuse a key that is reused for another request. */
  content: digest,
  instance: name,
  incarnation: z.string().min(1).max(64),
  /** gRPC address of the agent that holds the claim, `ip:port`. */
  address: z.string()
}).readonly()

export type Priority = typeof priorities[number]
export type Deployment = z.infer<typeof deploymentSchema>
export type DataCentre = z.infer<typeof dataCentreSchema>
export type Organisation = z.infer<typeof organisationSchema>
export type ModelService = z.infer<typeof modelServiceSchema>
export type PlainService = z.infer<typeof plainServiceSchema>
export type Service = z.infer<typeof serviceSchema>
export type Intent = z.infer<typeof intentSchema>
export type Configuration = z.infer<typeof configurationSchema>
export type Change = z.infer<typeof changeSchema>
export type ChangeRecord = z.infer<typeof changeRecordSchema>
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>
export type LeaseRecord = z.infer<typeof leaseRecordSchema>
export type ClaimRecord = z.infer<typeof claimRecordSchema>

/** State of the fold of all records before offset `next`; it holds the configuration in force at a node. */
export interface FoldState {
  /** Offset of the next record to fold; never decreases. */
  readonly next: number
  /** Offset of the last accepted change, -1 before the first. */
  readonly revision: number
  /** Revision of each scope, such as `data-centre/rajkot`. */
  readonly revisions: Readonly<Record<string, number>>
  /** Undefined until the first accepted `replace`. */
  readonly configuration: Configuration | undefined
  /** Latest refused records, up to a maximum number. */
  readonly refused: readonly RefusedRecord[]
}

/** A record that the fold refused. */
export interface RefusedRecord {
  readonly offset: number
  readonly id: string
  readonly reason: 'stale' | 'unsigned' | 'malformed' | 'invalid' | 'snapshot-mismatch'
}
