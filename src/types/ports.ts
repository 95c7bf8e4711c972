/** Interfaces through which the roles use the platform; an adapter implements them. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { EraReport } from '../core/stream-eras.js'
import type { LogPosition } from '../core/log-position.js'
import type { DrainMode } from '../core/weights/swap-schedule.js'
import type { EngineReport, OperatorRecord, Upstream } from './fleet.js'

/** Streams of records in the platform's log. */
export type StreamName = 'operators' | 'instances' | 'entries'

/** One record and its position. A record without a value deletes its key. */
export interface KeyedRecord extends LogPosition {
  readonly key: string
  readonly value: Buffer | undefined
}

/** Where a node reads records: in the platform's log, or from another node, in its own data centre or elsewhere. */
export type RecordSource = 'log' | 'peer' | 'remote-peer'

/** What one read of records cost. */
export interface ReadCost {
  /** Bytes of the bodies received. */
  readonly bytes: number
  /** Time from the call until the first byte, milliseconds; a read that waits for a record includes that wait. */
  readonly firstByteMilliseconds: number
  /** Time from the call until the last byte, milliseconds. */
  readonly milliseconds: number
  /** Number of records received. */
  readonly records: number
  /** Number of them that a later record of the same key in the same answer supersedes. */
  readonly superseded: number
}

/** The read that a record came with. */
export interface RecordRead {
  readonly source: RecordSource
  readonly cost: ReadCost
}

/** Records that were read at once; `next` is the position from which to continue with `read`. */
export interface ReadRecords {
  readonly records: readonly KeyedRecord[]
  readonly next: LogPosition
  readonly cost: ReadCost
  /** The log if not set. */
  readonly source?: RecordSource
  /** Time since the log confirmed these records as its last ones, milliseconds; 0 if not set. */
  readonly ageMilliseconds?: number
  /** What the source knows of the era of these records; not set by the log itself. */
  readonly eras?: EraReport
}

/** Records from some position on, and the offset `end` after the last record of the log; `expired` if the log no longer has them, as in another era. */
export type RecordPage = ReadRecords & { readonly kind: 'records', readonly end: number } | { readonly kind: 'expired' }

/** The newest record of each key. */
export type NewestRecords = ReadRecords

/** The platform's log of keyed records. */
export abstract class RecordLog {
  /**
   * Reads the newest record of each key, and the position from which to continue with `read`; not a snapshot: some may be newer
   * than those before it. Rejects an answer of an era before `minimumEra`.
   */
  abstract newest (stream: StreamName, minimumEra?: number): Promise<NewestRecords>
  /** Reads at most `limit` records from `from` on; waits for one until `waitUntil`, milliseconds of the monotonic clock. */
  abstract read (stream: StreamName, from: LogPosition, waitUntil: number, limit: number): Promise<RecordPage>
  /** Writes the newest value of a key. */
  abstract write (stream: StreamName, key: string, value: Buffer): Promise<void>
  /** Ends the calls in progress, as the node stops; they reject. */
  close (): void {}
}

/** Decoder of records. */
export abstract class RecordCodec {
  abstract operatorRecord (key: string, value: Buffer | undefined): OperatorRecord
  /** Data centre that the key orders to evacuate; undefined for any other key. */
  abstract evacuatedDataCentre (key: string): string | undefined
  /** Decodes an upstream; otherwise the reason why the record is invalid. */
  abstract upstream (key: string, value: Buffer): Upstream | { readonly reason: string }
}

/** A caller's request, decoded from its headers. */
export interface CallerRequest {
  readonly id: string
  readonly method: string
  /** Path and query, as sent. */
  readonly target: string
  readonly host: string
  readonly key: string | undefined
  /** Time that the caller waits for the answer, milliseconds; undefined if not sent. */
  readonly timeoutMilliseconds: number | undefined
  /** Id of the last event that the caller received; undefined for none. */
  readonly lastEventId: string | undefined
  readonly promptTokens: number
  readonly maximumAnswerTokens: number
  /** Ids of the parts of the prompt, in order; other requests share them, except the last. Empty for a request without a prompt. */
  readonly promptParts: readonly string[]
  readonly model: string | undefined
}

/** What an entry sends to an upstream along with a request. */
export interface AttemptMetadata {
  readonly remainingMilliseconds: number
  readonly upstreamId: string
  readonly organisation: string | undefined
  /** Priority at the upstream, 0 (most urgent) to 9. */
  readonly rank: number
  /** Weights version that the upstream must serve. */
  readonly weightsVersion: number | undefined
  readonly lastEventId: string | undefined
}

/**
 * Limit of requests a second from all entries together that an upstream names in an answer, 0 for none at all; `invalid`
 * holds the text of one that cannot be read.
 */
export type NamedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'limit', readonly perSecond: number }
  | { readonly kind: 'invalid', readonly text: string }

/** Rest that an upstream asks for as it turns a request away; `invalid` holds the text of one that cannot be read. */
export type RequestedRest =
  | { readonly kind: 'none' }
  | { readonly kind: 'rest', readonly milliseconds: number }
  | { readonly kind: 'invalid', readonly text: string }

/** Load that an upstream states in an answer. */
export interface StatedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes there now, 1 for as long as usual; undefined where the upstream does not state it. */
  readonly pace?: number
  /** Text of a pace that cannot be read or is out of range; undefined for a valid one and for none. */
  readonly invalidPace?: string
}

/** The decoded head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number
  readonly requestId: string | undefined
  /** Whether the answer carries the upstream's signature. */
  readonly isSigned: boolean
  /** Whether the upstream reports that it did not run the request. */
  readonly isNotRun: boolean
  /** Whether the upstream at this address, or its weights, are not the expected ones. */
  readonly isMisdirected: boolean
  /** Whether the body has a content encoding such as gzip. */
  readonly isEncoded: boolean
  readonly load: StatedLoad | undefined
  readonly limit: NamedLimit
  readonly rest: RequestedRest
  /** Whether the upstream says that it leaves. */
  readonly isLeaving: boolean
}

/** Codec of the headers of requests and answers, towards callers and upstreams. */
export abstract class RequestCodec {
  abstract callerRequest (request: IncomingMessage): CallerRequest
  /** Headers of the request to the upstream. */
  abstract upstreamHeaders (headers: IncomingHttpHeaders, attempt: AttemptMetadata): Readonly<Record<string, string | readonly string[]>>
  abstract answerHead (status: number, headers: IncomingHttpHeaders): AnswerHead
  /** Headers of the answer to the caller. */
  abstract callerHeaders (headers: IncomingHttpHeaders): Readonly<Record<string, string | readonly string[]>>
}

/** Result of an order to an engine. */
export type OrderResult = 'begun' | 'in-effect' | 'conflict' | 'refused'

/** The engine on the agent's machine. */
export abstract class EnginePort {
  abstract report (): Promise<EngineReport>
  /** Positions of the chunks that are staged. */
  abstract staged (model: string): Promise<readonly number[]>
  abstract stagedChunk (model: string, position: number): Promise<Buffer | undefined>
  abstract stage (model: string, position: number, chunk: Buffer): Promise<void>
  /** Orders the engine to load the staged chunks. The engine refuses unless it has accepted exactly `ordersBefore` orders so far. */
  abstract load (model: string, version: number, ordersBefore: number, drainMode: DrainMode): Promise<OrderResult>
  /** Orders the engine to give up the version that it serves, under the same condition; refused where an engine cannot. */
  async unload (_model: string, _version: number, _ordersBefore: number): Promise<OrderResult> {
    return 'refused'
  }
}

/** The origin of weights; `address` is `ip:port`. */
export abstract class OriginPort {
  /** SHA-256 digests of the chunks, in hexadecimal, as the origin sent them: not checked. Throws when it sent no list. */
  abstract digests (address: string, model: string, version: number): Promise<readonly unknown[]>
  abstract chunk (address: string, model: string, version: number, position: number): Promise<Buffer>
}
