/** The configuration that operators apply, and the records that carry it in the platform's log. */
import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')
const positiveInteger = z.number().int().positive()
const digest = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal')
/** Public Ed25519 key: SPKI, DER in base64. */
export const operatorKey = z.string().regex(/^MCowBQYDK2VwAyEA[A-Za-z0-9+/]{43}=$/, 'must be a public Ed25519 key, SPKI as DER in base64')
const epochMilliseconds = z.number().int().nonnegative()

/** Priority classes, the most urgent first. */
export const priorities = ['urgent', 'normal', 'background'] as const

/** Facts of the deployment as a whole. */
export const deploymentSchema = z.object({
  name,
  /** What the deployment weighs more: time to replicas, or service while a data centre moves. */
  weighting: z.enum(['replicas', 'service']),
  /** Data centre in which the platform's log runs. */
  logDataCentre: name,
  /** What a node does once it can reach neither the log nor a node beside the log. */
  whenIsolated: z.enum(['refuse', 'serve']),
  /** Public Ed25519 keys (SPKI, DER in base64) of operators; once there is one, every change must be signed by one of them. */
  operatorKeys: z.array(operatorKey).readonly().optional()
}).readonly()

/** A data centre; `out` takes no new work. */
export const dataCentreSchema = z.object({
  region: name,
  state: z.enum(['in', 'out'])
}).readonly()

/** An organisation whose callers the system serves. */
export const organisationSchema = z.object({
  /** Weight in the fair share, relative to other organisations. */
  share: z.number().positive(),
  priority: z.enum(priorities),
  /** Retries that the entry may make for this organisation, each second. */
  retriesPerSecond: z.number().positive()
}).readonly()

const bounds = {
  /** Requests in flight that an upstream bears just after a cold start. */
  coldBound: positiveInteger,
  /** Requests in flight that a warm upstream bears at most. */
  fullBound: positiveInteger,
  /** Longest time to the first byte of an answer that still counts as evidence for a higher limit, milliseconds. */
  firstByteTargetMilliseconds: positiveInteger
}

/** Service of model engines. */
export const modelServiceSchema = z.object({
  kind: z.literal('model'),
  ...bounds,
  /** Whether the engines refuse an order that carries an old fencing number. */
  fencing: z.enum(['checked', 'ignored'])
}).readonly()

/** Plain service, such as a ledger or a booking service. */
export const plainServiceSchema = z.object({
  kind: z.literal('plain'),
  ...bounds,
  /** Operations that may not be repeated. */
  nonIdempotent: z.array(name).readonly()
}).readonly()

export const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema])

/** Rollout intent: which weights serve which organisations, where, and by when. */
export const intentSchema = z.object({
  id: name,
  service: name,
  model: name,
  adapter: name.nullable(),
  version: z.string().min(1).max(64),
  /** Digest of the manifest; it names the exact weights. */
  manifest: digest,
  organisations: z.array(name).min(1).readonly(),
  dataCentres: z.array(name).min(1).readonly(),
  /** Epoch milliseconds by which every instance serves it. */
  finishBy: epochMilliseconds
}).readonly()

/** Whole configuration of a deployment. */
export const configurationSchema = z.object({
  deployment: deploymentSchema,
  dataCentres: z.record(name, dataCentreSchema).readonly(),
  organisations: z.record(name, organisationSchema).readonly(),
  services: z.record(name, serviceSchema).readonly(),
  intents: z.record(name, intentSchema).readonly()
}).readonly()

/** One change of the configuration; each names the scope that it touches. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('replace'), configuration: configurationSchema }).readonly(),
  z.object({ kind: z.literal('data-centre'), dataCentre: name, state: z.enum(['in', 'out']) }).readonly(),
  z.object({ kind: z.literal('intent'), intent: intentSchema }).readonly(),
  z.object({ kind: z.literal('withdraw'), intent: name }).readonly()
])

/** An operator's change. `basedOn` is the revision of its scope that the operator saw; the fold refuses it when that scope has moved. */
export const changeRecordSchema = z.object({
  type: z.literal('change'),
  id: z.string().min(1).max(64),
  basedOn: z.number().int().min(-1),
  author: z.string().min(1).max(128),
  /** Epoch milliseconds at the operator's machine, for display only. */
  at: epochMilliseconds,
  change: changeSchema,
  /** Ed25519 signature in base64, where the configuration in force asks for one. */
  signature: z.string().max(128).optional()
}).readonly()

/** State of the fold after offset `asOf`, so that older records may expire. */
export const snapshotRecordSchema = z.object({
  type: z.literal('snapshot'),
  id: z.string().min(1).max(64),
  asOf: z.number().int().min(-1),
  digest,
  revision: z.number().int().min(-1),
  revisions: z.record(z.string(), z.number().int()).readonly(),
  configuration: configurationSchema
}).readonly()

/** Record of the configuration stream. */
export const configurationRecordSchema = z.discriminatedUnion('type', [changeRecordSchema, snapshotRecordSchema])

/** Grants one agent the right to order an instance's engine; the record's offset is the fencing number. */
export const leaseRecordSchema = z.object({
  type: z.literal('lease'),
  id: z.string().min(1).max(64),
  instance: name,
  incarnation: z.string().min(1).max(64)
}).readonly()

/** Claims the one run of a non-idempotent request, or releases the claim of the same id, whose request was never sent. */
export const claimRecordSchema = z.object({
  type: z.enum(['claim', 'release']),
  id: z.string().min(1).max(64),
  /** SHA-256 of organisation, service, operation and Idempotency-Key. */
  key: digest,
  /** SHA-256 of the request's body, so that a key reused for another request is refused. */
  content: digest,
  instance: name,
  incarnation: z.string().min(1).max(64),
  /** Control address of the claim's holder, `ip:port`. */
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

/** Configuration in force at a node: the fold of all records before offset `next`. */
export interface FoldState {
  /** Offset of the next record to fold; it never falls. */
  readonly next: number
  /** Offset of the last accepted change, -1 before the first. */
  readonly revision: number
  /** Revision of each scope, such as `data-centre/rajkot`. */
  readonly revisions: Readonly<Record<string, number>>
  /** Undefined until the first accepted `replace`. */
  readonly configuration: Configuration | undefined
  /** Latest refused records, bounded. */
  readonly refused: readonly RefusedRecord[]
}

/** A record that the fold refused, with the reason. */
export interface RefusedRecord {
  readonly offset: number
  readonly id: string
  readonly reason: 'stale' | 'unsigned' | 'malformed' | 'invalid' | 'snapshot-mismatch'
}
