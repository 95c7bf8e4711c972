/** Messages of the external systems: the log, the instance list, the sources of weights, and engines. */
import { z } from 'zod'

/** A record as the log returns it. */
export interface StoredRecord {
  readonly offset: number
  /** Time at which the log accepted the record, epoch milliseconds. */
  readonly at: number
  readonly body: string
}

/** A page of a stream: `first` is the oldest offset that is still retained, `next` the offset after the newest record. */
export interface StreamPage {
  readonly first: number
  readonly next: number
  readonly records: readonly StoredRecord[]
}

/** One instance of the platform's instance list. */
export const listedInstanceSchema = z.object({
  instance: z.string(),
  role: z.enum(['entry', 'upstream']),
  /** Service of the upstream; empty for an entry. */
  service: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  /** HTTP address of the instance's entry or agent, `ip:port`. */
  address: z.string(),
  /** gRPC address of the instance's entry or agent, `ip:port`. */
  controlAddress: z.string()
}).readonly()
export type ListedInstance = z.infer<typeof listedInstanceSchema>

/** The complete instance list; `version` increases with each change. */
export const instanceListSchema = z.object({
  version: z.number().int(),
  instances: z.array(listedInstanceSchema).readonly()
}).readonly()
export type InstanceList = z.infer<typeof instanceListSchema>

/** Manifest of one version of weights; its digest is the SHA-256 of its canonical JSON. */
export const manifestSchema = z.object({
  model: z.string(),
  adapter: z.string().nullable(),
  version: z.string(),
  /** Size of each chunk except the last, bytes. */
  chunkBytes: z.number().int().positive(),
  totalBytes: z.number().int().positive(),
  /** SHA-256 of each chunk, in hexadecimal, in order. */
  chunks: z.array(z.string()).min(1).readonly()
}).readonly()
export type Manifest = z.infer<typeof manifestSchema>

/** An engine's answer to `GET /state`. */
export const engineStateSchema = z.object({
  /** Changes each time the engine starts. */
  incarnation: z.string(),
  /** Manifest digest of the loaded weights as computed by the engine, or null. */
  weights: z.string().nullable(),
  role: z.string(),
  /** Id of the order in progress, or null. */
  loading: z.string().nullable(),
  /** Highest fencing token received; engines that ignore fencing report -1. */
  fence: z.number().int(),
  running: z.number().int()
}).readonly()
export type EngineState = z.infer<typeof engineStateSchema>

/** An order to an engine, sent to `POST /orders`. The engine fetches the chunks from `source`. */
export interface EngineOrder {
  readonly id: string
  readonly kind: 'load' | 'role'
  readonly fence: number
  /** Manifest digest, set for `load`. */
  readonly manifest?: string
  /** Base URL that serves `/weights/DIGEST` and `/chunks/DIGEST`. */
  readonly source?: string
  readonly role?: string
}

/** A line of the answer stream of an engine (newline-delimited JSON). */
export type EngineLine =
  | { readonly type: 'token', readonly id: string, readonly index: number, readonly token: string, readonly weights: string }
  | { readonly type: 'end', readonly id: string, readonly tokens: number, readonly weights: string, readonly reason: 'complete' | 'cancelled' }

/** A request to an engine, sent to `POST /completions`. */
export interface EngineRequest {
  readonly id: string
  readonly prompt: string
  readonly maximumTokens: number
  readonly priority: number
  /** Index of the first token to send; the earlier ones were already received. */
  readonly resumeFrom: number
}
