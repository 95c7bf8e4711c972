/** The log as another node has read it. */
import type { Agent } from 'node:http'
import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { callHttp } from '../transports/http-call.js'
import { RecordLog, type NewestRecords, type ReadRecords, type RecordPage, type RecordSource } from '../types/ports.js'
import { monotonicNow } from '../utils/clock.js'
import { decodeFedRecords, feedHeaders, feedPath, maximumAgeMilliseconds, type FedStream } from './record-feed.js'

const decompress = promisify(gunzip)

/** Longest wait of one poll, milliseconds: a node that ends without a word is noticed that soon. */
const pollMilliseconds = 500
/** Time for the answer on top of the poll's wait, milliseconds. */
const answerTimeoutMilliseconds = 400
/** Time for the answer to a node that lacks records of unknown size, milliseconds. */
const transferTimeoutMilliseconds = 2000

/** Thrown when a node has not been able to read the log for some time. */
export class StaleRecordsError extends Error {
  constructor (address: string, ageMilliseconds: number) {
    super(`the records of ${address} were confirmed ${ageMilliseconds} ms ago`)
  }
}

/** Reads one stream from the feed of another node; `address` is `ip:port`. Calls throw `StaleRecordsError` or the error of the connection. */
export class FedRecordLog extends RecordLog {
  constructor (private readonly address: string, private readonly stream: FedStream, private readonly agent: Agent, private readonly source: RecordSource) {
    super()
  }

  async newest (): Promise<NewestRecords> {
    for (;;) {
      const read = await this.poll(-1, pollMilliseconds, transferTimeoutMilliseconds)
      this.checkAge(read.ageMilliseconds)
      if (read.next >= 0) return read
    }
  }

  async read (_stream: string, from: number, waitUntil: number): Promise<RecordPage> {
    const wait = Math.max(0, Math.min(pollMilliseconds, Math.round(waitUntil - monotonicNow())))
    const read = await this.poll(from, wait, answerTimeoutMilliseconds)
    if (read.records.length === 0) this.checkAge(read.ageMilliseconds)
    return { kind: 'records', ...read, next: Math.max(from, read.next) }
  }

  async write (): Promise<void> {
    throw new Error('records are written to the log itself')
  }

  private checkAge (ageMilliseconds: number): void {
    if (ageMilliseconds > maximumAgeMilliseconds) throw new StaleRecordsError(this.address, ageMilliseconds)
  }

  private poll (from: number, waitMilliseconds: number, timeoutMilliseconds: number): Promise<FedRecords> {
    return pollFeed(this.address, this.stream, this.agent, this.source, { from, waitMilliseconds, timeoutMilliseconds })
  }
}

/** Fetches what a node has read from an offset on, without waiting; rejects when it does not answer in time. */
export async function fetchRecords (address: string, stream: FedStream, from: number, agent: Agent, source: RecordSource): Promise<ReadRecords> {
  return await pollFeed(address, stream, agent, source, { from, waitMilliseconds: 0, timeoutMilliseconds: transferTimeoutMilliseconds })
}

/** What a poll brought, with its age. */
type FedRecords = ReadRecords & { readonly ageMilliseconds: number }

interface Poll { readonly from: number, readonly waitMilliseconds: number, readonly timeoutMilliseconds: number }

async function pollFeed (address: string, stream: FedStream, agent: Agent, source: RecordSource, { from, waitMilliseconds, timeoutMilliseconds }: Poll): Promise<FedRecords> {
  const path = feedPath(stream, from, waitMilliseconds)
  const answer = await callHttp({ address, method: 'GET', path, deadline: monotonicNow() + waitMilliseconds + timeoutMilliseconds, agent })
  if (answer.status !== 200) throw new Error(`${address} answered ${answer.status} to a request for records`)
  const body = answer.headers['content-encoding'] === 'gzip' ? await decompress(answer.body) : answer.body
  const { records, next } = decodeFedRecords(body)
  const { firstByteMilliseconds, milliseconds } = answer
  const cost = { bytes: answer.body.length, firstByteMilliseconds, milliseconds, records: records.length, superseded: 0 }
  return { records, next, cost, source, ageMilliseconds: Number(answer.headers[feedHeaders.age] ?? Infinity) }
}
