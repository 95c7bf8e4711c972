/** The log as another node has read it. */
import type { Agent } from 'node:http'
import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { beforeLog, isBefore, isInLog, type LogPosition } from '../core/log-position.js'
import { callHttp, deadlinesByProgress, maximumAnswerBytes } from '../transports/http-call.js'
import { RecordLog, type NewestRecords, type ReadRecords, type RecordPage, type RecordSource } from '../types/ports.js'
import { monotonicNow } from '../utils/clock.js'
import { areCurrent, decodeFedRecords, feedPath, type FedRecords, type FedStream } from './record-feed.js'

const decompress = promisify(gunzip)

/** Longest wait of one poll, milliseconds: a node that ends without a word is noticed that soon. */
const pollMilliseconds = 500
/** Time until an answer begins on top of the poll's wait, milliseconds: in the own data centre, and over a link that other traffic may fill. */
const answerMilliseconds = { peer: 400, 'remote-peer': 5000 } as const

/** Thrown when a node answers but cannot read the log, or has not for some time; see `FedRecords`. */
export class StaleRecordsError extends Error {
  constructor (address: string, readonly sender: Pick<FedRecords, 'ageMilliseconds' | 'isConnected' | 'readingMilliseconds'>) {
    super(`the records of ${address} were confirmed ${sender.ageMilliseconds} ms ago`)
  }
}

/** Thrown when a node may not know all removals since the requested position; everything has to be read. */
export class UnknownRemovalsError extends Error {
  constructor (address: string) {
    super(`${address} may not know all removals since the position`)
  }
}

/** Reads one stream from the feed of another node; `address` is `ip:port`, `reader` the instance that reads. Calls throw `StaleRecordsError` or the error of the connection. */
export class FedRecordLog extends RecordLog {
  constructor (private readonly address: string, private readonly stream: FedStream, private readonly agent: Agent, private readonly source: PeerSource, private readonly reader: string) {
    super()
  }

  async newest (_stream: string, minimumEra = 0): Promise<NewestRecords> {
    for (;;) {
      const read = await this.poll(beforeLog, pollMilliseconds)
      this.checkCurrent(read)
      if (isInLog(read.next) && read.next.era < minimumEra) throw new StaleRecordsError(this.address, read)
      if (isInLog(read.next)) return read
    }
  }

  async read (_stream: string, from: LogPosition, waitUntil: number): Promise<RecordPage> {
    const wait = Math.max(0, Math.min(pollMilliseconds, Math.round(waitUntil - monotonicNow())))
    const read = await this.poll(from, wait).catch(ignoreUnknownRemovals)
    if (read === undefined) return { kind: 'expired' }
    if (read.records.length === 0) this.checkCurrent(read)
    // What a node of an earlier era confirms says nothing about the log as it is now.
    if (!isInLog(read.next) || read.next.era < from.era) throw new StaleRecordsError(this.address, read)
    if (read.next.era > from.era) return { kind: 'expired' }
    const hasReadLess = isBefore(read.next, from)
    const next = hasReadLess ? from : read.next
    // A node that has read less than the caller cannot confirm the caller's records.
    const ageMilliseconds = hasReadLess ? Infinity : read.ageMilliseconds
    return { kind: 'records', ...read, next, end: next.offset, ageMilliseconds }
  }

  async write (): Promise<void> {
    throw new Error('records are written to the log itself')
  }

  private checkCurrent (read: FedRecords): void {
    if (!areCurrent(read)) throw new StaleRecordsError(this.address, read)
  }

  private poll (from: LogPosition, waitMilliseconds: number): Promise<PolledRecords> {
    return pollFeed(this.address, this.stream, this.agent, this.source, { from, waitMilliseconds, reader: this.reader })
  }
}

function ignoreUnknownRemovals (error: unknown): undefined {
  if (!(error instanceof UnknownRemovalsError)) throw error
}

/** Fetches what a node has read from a position on, without waiting; rejects when it does not answer in time, and with `UnknownRemovalsError`. */
export async function fetchRecords (address: string, stream: FedStream, from: LogPosition, agent: Agent, source: PeerSource, reader: string): Promise<ReadRecords> {
  return await pollFeed(address, stream, agent, source, { from, waitMilliseconds: 0, reader })
}

/** Entry of the own data centre or of another one. */
export type PeerSource = Exclude<RecordSource, 'log'>

type PolledRecords = ReadRecords & FedRecords

interface Poll { readonly from: LogPosition, readonly waitMilliseconds: number, readonly reader: string }

async function pollFeed (address: string, stream: FedStream, agent: Agent, source: PeerSource, { from, waitMilliseconds, reader }: Poll): Promise<PolledRecords> {
  const path = feedPath(stream, from, waitMilliseconds, reader)
  const deadlines = deadlinesByProgress(monotonicNow() + waitMilliseconds + answerMilliseconds[source])
  const answer = await callHttp({ address, method: 'GET', path, ...deadlines, maximumBytes: maximumAnswerBytes.records, agent })
  if (answer.status === 410) throw new UnknownRemovalsError(address)
  if (answer.status !== 200) throw new Error(`${address} answered ${answer.status} to a request for records`)
  const body = answer.headers['content-encoding'] === 'gzip' ? await decompress(answer.body, { maxOutputLength: maximumAnswerBytes.records }) : answer.body
  const fed = decodeFedRecords(body, answer.headers)
  const { firstByteMilliseconds, milliseconds } = answer
  return { ...fed, source, cost: { bytes: answer.body.length, firstByteMilliseconds, milliseconds, records: fed.records.length, superseded: 0 } }
}
