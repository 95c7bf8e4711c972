/** Serves the records that a node has read to other nodes, over HTTP with long polls. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { promisify } from 'node:util'
import { gzip } from 'node:zlib'
import type { EraReport } from '../core/stream-eras.js'
import { decodeEraReport, encodeEraReport, type EncodedEras } from '../transports/era-codec.js'
import { beforeLog, formatPosition, isBefore, isInLog, isValidPosition, type LogPosition } from '../core/log-position.js'
import type { KeyedRecord } from '../types/ports.js'
import { monotonicNow } from '../utils/clock.js'
import type { RecordFollower } from './record-follower.js'

const compress = promisify(gzip)

/** Headers of the feed's answers, in lower case; see `FedRecords`. `connected` is `yes` or `no`; `reading` is left out while no read is in progress. */
const feedHeaders = { age: 'x-record-age', connected: 'x-record-source-connected', reading: 'x-record-reading' } as const
/** Longest time for which a poll is held open, milliseconds. */
const maximumWaitMilliseconds = 2000
/** Age from which a node's records no longer count as current, milliseconds: it reads the log twice a second. */
const maximumAgeMilliseconds = 1200
/** Size from which an answer is compressed, bytes. */
const compressedFromBytes = 1024
/** Encoded answers that are kept: the followers of a node usually ask for the same ones. */
const maximumCachedAnswers = 4

/** Streams that nodes serve to each other. */
export type FedStream = 'operators' | 'instances'

/** `era` is left out in the records of the era of the whole answer. */
interface EncodedRecord { readonly key: string, readonly value: string | null, readonly offset: number, readonly era?: number }

/** Body of an answer; `eras` is left out by a sender that knows of one era only. */
interface EncodedRecords { readonly records: readonly EncodedRecord[], readonly next: number, readonly era?: number, readonly eras?: EncodedEras }

interface CachedAnswer { readonly key: string, readonly body: Promise<Buffer> }

/** Path of a poll by the instance `reader` for the records of a stream from a position on. */
export function feedPath (stream: FedStream, from: LogPosition, waitMilliseconds: number, reader: string): string {
  return `/records?stream=${stream}&from=${from.offset}&era=${from.era}&wait=${waitMilliseconds}&reader=${encodeURIComponent(reader)}`
}

/** What an answer of the feed holds. */
export interface FedRecords {
  /** Newest record of each key from the requested position on. */
  readonly records: readonly KeyedRecord[]
  /** Position after the last record that the sender has read; `beforeLog` before its first read. */
  readonly next: LogPosition
  /** Time since the log confirmed that the sender had read everything, milliseconds; since the sender's start before its first read. */
  readonly ageMilliseconds: number
  /** Whether the sender's last read of any source succeeded, or its first one is in progress; false if that source is the reader itself. */
  readonly isConnected: boolean
  /** Time since the sender began to read outside its data centre, milliseconds; undefined while it does not. */
  readonly readingMilliseconds: number | undefined
  /** What the sender knows of the era of `next`; left out while it knows of no other one. */
  readonly eras?: EraReport
}

/** Whether records are current enough to be relied on while nothing newer is there. */
export function areCurrent ({ ageMilliseconds, isConnected }: Pick<FedRecords, 'ageMilliseconds' | 'isConnected'>): boolean {
  return isConnected && ageMilliseconds <= maximumAgeMilliseconds
}

/** Decodes an answer of the feed; throws for invalid JSON, and for positions from which no read could continue. */
export function decodeFedRecords (body: Buffer, headers: IncomingHttpHeaders): FedRecords {
  const { records: encoded, next: offset, era = 0, eras: encodedEras } = JSON.parse(body.toString()) as EncodedRecords
  const next = { era, offset }
  const records = encoded.map(record => decodeRecord(record, era))
  if (![next, ...records].every(isValidPosition)) throw new Error('an answer with records has a position that is no whole number')
  const eras = decodeEraReport(encodedEras)
  return {
    records,
    next,
    ...eras === undefined ? {} : { eras },
    ageMilliseconds: Number(headers[feedHeaders.age] ?? Infinity),
    isConnected: headers[feedHeaders.connected] === 'yes',
    readingMilliseconds: decodeMilliseconds(headers[feedHeaders.reading])
  }
}

function decodeMilliseconds (value: string | readonly string[] | undefined): number | undefined {
  const milliseconds = Number(value ?? NaN)
  return Number.isFinite(milliseconds) ? milliseconds : undefined
}

/** Answers polls for the records of a node's followers. */
export class RecordFeed {
  private readonly cached: CachedAnswer[] = []

  /** `sourceOf` gives the name of the source from which this node reads a stream, `readingSinceOf` the start of its read outside the data centre; see `SelectedRecordLog`. */
  constructor (
    private readonly followers: Readonly<Record<FedStream, RecordFollower>>,
    private readonly sourceOf: (stream: FedStream) => string,
    private readonly readingSinceOf: (stream: FedStream) => number | undefined = () => undefined
  ) {}

  /** Answers a poll: at once if there are records from the position on or this node's are not current, otherwise when the log has been read again or the wait is over; 410 if removals since the position may be unknown here, 404 for an unknown stream. */
  async serve (target: string, response: ServerResponse): Promise<void> {
    const query = new URLSearchParams(target.split('?')[1] ?? '')
    const stream = query.get('stream')
    const wait = Math.min(maximumWaitMilliseconds, Number(query.get('wait') ?? 0))
    const offset = Number(query.get('from') ?? beforeLog.offset)
    if ((stream !== 'operators' && stream !== 'instances') || !Number.isFinite(offset) || !Number.isFinite(wait)) {
      response.writeHead(404).end()
      return
    }
    const follower = this.followers[stream]
    // A reader of an earlier version names no era: its offsets count as of this one.
    const from = { era: Number(query.get('era') ?? follower.state.next.era), offset }
    // Two nodes that read from each other would both take their records for current while neither reads the log.
    const isReadFromReader = (): boolean => this.sourceOf(stream) === query.get('reader')
    const freshness = freshnessOf(follower)
    if (!follower.hasRecordsFrom(from) && areCurrent(freshness) && !isReadFromReader()) {
      // The reader learns as soon as the records stop being current, and turns to another source.
      await follower.waitForRead(monotonicNow() + Math.min(wait, maximumAgeMilliseconds - freshness.ageMilliseconds + 1))
    }
    if (!follower.knowsRemovalsFrom(from)) {
      response.writeHead(410).end()
      return
    }
    const body = await this.encode(stream, from, follower)
    const { ageMilliseconds, isConnected } = freshnessOf(follower)
    response.setHeader(feedHeaders.age, String(Math.round(ageMilliseconds)))
    response.setHeader(feedHeaders.connected, isConnected && !isReadFromReader() ? 'yes' : 'no')
    const readingSince = this.readingSinceOf(stream)
    if (readingSince !== undefined) response.setHeader(feedHeaders.reading, String(Math.round(monotonicNow() - readingSince)))
    if (body.isCompressed) response.setHeader('content-encoding', 'gzip')
    response.end(body.bytes)
  }

  private async encode (stream: FedStream, from: LogPosition, follower: RecordFollower): Promise<{ readonly bytes: Buffer, readonly isCompressed: boolean }> {
    const { next } = follower.state
    const records = follower.newest.filter(record => !isInLog(from) || !isBefore(record, from))
    const { eras } = follower
    const encode = (): string => JSON.stringify({ records: records.map(record => encodeRecord(record, next.era)), next: next.offset, era: next.era, ...eras === undefined ? {} : { eras: encodeEraReport(eras) } } satisfies EncodedRecords)
    if (records.length === 0) return { bytes: Buffer.from(encode()), isCompressed: false }
    const key = `${stream}/${formatPosition(from)}/${formatPosition(next)}/${records.length}/${follower.revision}`
    const known = this.cached.find(answer => answer.key === key)
    if (known !== undefined) return { bytes: await known.body, isCompressed: true }
    const text = encode()
    if (text.length < compressedFromBytes) return { bytes: Buffer.from(text), isCompressed: false }
    const answer = { key, body: compress(text, { level: 1 }) }
    this.cached.push(answer)
    if (this.cached.length > maximumCachedAnswers) this.cached.shift()
    return { bytes: await answer.body, isCompressed: true }
  }
}

function freshnessOf ({ state }: RecordFollower): Pick<FedRecords, 'ageMilliseconds' | 'isConnected'> {
  return { ageMilliseconds: monotonicNow() - state.confirmedAt, isConnected: state.isConnected }
}

function encodeRecord ({ key, value, offset, era }: KeyedRecord, commonEra: number): EncodedRecord {
  return { key, value: value?.toString('utf8') ?? null, offset, ...era === commonEra ? {} : { era } }
}

function decodeRecord ({ key, value, offset, era }: EncodedRecord, commonEra: number): KeyedRecord {
  return { key, value: value === null ? undefined : Buffer.from(value), offset, era: era ?? commonEra }
}
