/** What the roles need of the platform; an adapter implements it. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { DrainMode } from '../core/weights/swap-schedule.js'
import type { EngineReport, OperatorRecord, Upstream } from './fleet.js'

/** Streams of records that the platform keeps. */
export type StreamName = 'operators' | 'instances' | 'entries'

/** One record; without a value its key is dropped. */
export interface KeyedRecord {
  readonly key: string
  readonly value: Buffer | undefined
  readonly offset: number
}

/** Records from some offset on, or the word that they are gone. */
export type RecordPage =
  | { readonly kind: 'records', readonly records: readonly KeyedRecord[], readonly next: number }
  | { readonly kind: 'expired' }

/** The platform's log of keyed records. */
export abstract class RecordLog {
  /** The newest record of each key, and the offset from which to read on. */
  abstract newest (stream: StreamName): Promise<{ readonly records: readonly KeyedRecord[], readonly next: number }>
  /** Records from `from` on; waits for one until `waitUntil`, steady milliseconds. */
  abstract read (stream: StreamName, from: number, waitUntil: number): Promise<RecordPage>
  /** Writes the newest value of a key. */
  abstract write (stream: StreamName, key: string, value: Buffer): Promise<void>
}

/** Meaning of records. */
export abstract class RecordCodec {
  abstract operatorRecord (key: string, value: Buffer | undefined): OperatorRecord
  /** Whether a key names a request to empty a data centre. */
  abstract evacuatedDataCentre (key: string): string | undefined
  /** An upstream, or why the record names none. */
  abstract upstream (key: string, value: Buffer): Upstream | { readonly reason: string }
}

/** A caller's request as its headers state it. */
export interface CallerRequest {
  readonly id: string
  readonly method: string
  /** Path and query, as sent. */
  readonly target: string
  readonly host: string
  readonly key: string | undefined
  /** How long the caller waits, milliseconds; undefined when not stated. */
  readonly timeoutMilliseconds: number | undefined
  /** Id of the last event that the caller has; undefined for none. */
  readonly lastEventId: string | undefined
  readonly promptTokens: number
  readonly maximumAnswerTokens: number
  readonly model: string | undefined
}

/** What an entry tells an upstream about a request. */
export interface AttemptMetadata {
  readonly remainingMilliseconds: number
  readonly upstreamId: string
  readonly organisation: string | undefined
  /** Rank at the upstream, 0 to 9, 0 first. */
  readonly rank: number
  /** Weights version that the upstream must serve. */
  readonly weightsVersion: number | undefined
  readonly lastEventId: string | undefined
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
  readonly status: number
  readonly requestId: string | undefined
  /** Whether the answer carries the upstream's signature. */
  readonly isSigned: boolean
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean
  /** Whether another upstream, or other weights, are at the address. */
  readonly isMisdirected: boolean
  readonly isEncoded: boolean
  readonly load: { readonly running: number, readonly waiting: number, readonly slots: number } | undefined
}

/** Translation of requests and answers at callers and upstreams. */
export abstract class RequestCodec {
  abstract callerRequest (request: IncomingMessage): CallerRequest
  /** Headers towards the upstream. */
  abstract upstreamHeaders (headers: IncomingHttpHeaders, attempt: AttemptMetadata): Readonly<Record<string, string | readonly string[]>>
  abstract answerHead (status: number, headers: IncomingHttpHeaders): AnswerHead
  /** Headers towards the caller. */
  abstract callerHeaders (headers: IncomingHttpHeaders): Readonly<Record<string, string | readonly string[]>>
}

/** Result of an order to an engine. */
export type OrderResult = 'begun' | 'in-effect' | 'conflict' | 'refused'

/** The engine on an agent's own machine. */
export abstract class EnginePort {
  abstract report (): Promise<EngineReport>
  /** Positions of the chunks that are staged. */
  abstract staged (model: string): Promise<readonly number[]>
  abstract stagedChunk (model: string, position: number): Promise<Buffer | undefined>
  abstract stage (model: string, position: number, chunk: Buffer): Promise<void>
  /** Orders the engine to load the staged chunks; refused unless it has taken `ordersBefore` orders. */
  abstract load (model: string, version: number, ordersBefore: number, drainMode: DrainMode): Promise<OrderResult>
}

/** The origin of weights. */
export abstract class OriginPort {
  /** SHA-256 digests of the chunks, in hexadecimal. */
  abstract digests (address: string, model: string, version: number): Promise<readonly string[]>
  abstract chunk (address: string, model: string, version: number, position: number): Promise<Buffer>
}
