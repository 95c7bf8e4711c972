/** Exchange of keyed records between nodes over HTTP. */
import type { Agent } from 'node:http'
import { callHttp, type HttpAnswer } from '../transports/http-call.js'
import type { KeyedRecord, ReadCost } from '../types/ports.js'
import { monotonicNow } from '../utils/clock.js'
import type { RecordFollower } from './record-follower.js'

/** Timeout of a request for records. */
const callTimeoutMilliseconds = 1000

/** Newest record of each key, for both streams. */
export interface RecordSets {
  readonly operators: readonly KeyedRecord[]
  readonly instances: readonly KeyedRecord[]
}

/** Records of another node, with what it cost to fetch those of each stream. */
export interface FetchedRecords extends RecordSets {
  readonly costs: { readonly operators: ReadCost, readonly instances: ReadCost }
}

interface EncodedRecord { readonly key: string, readonly value: string | null, readonly offset: number }

/** Encodes records as JSON; a removed value becomes null. */
export function encodeRecords (sets: RecordSets): string {
  return JSON.stringify({ operators: sets.operators.map(encode), instances: sets.instances.map(encode) })
}

/** Requests the records of another node; rejects when it does not answer in time. */
export async function fetchRecords (address: string, agent: Agent): Promise<FetchedRecords> {
  const answer = await callHttp({ address, method: 'GET', path: '/records', deadline: monotonicNow() + callTimeoutMilliseconds, agent })
  const sets = decodeRecords(answer.body)
  return { ...sets, costs: { operators: costOf(sets.operators, sets.instances, answer), instances: costOf(sets.instances, sets.operators, answer) } }
}

/** Fetches the records of another node and applies them to the followers given; rejects as `fetchRecords` does, and counts that. */
export async function receiveRecordsFrom (address: string, agent: Agent, followers: { readonly operators: RecordFollower, readonly instances?: RecordFollower }): Promise<FetchedRecords> {
  const { operators, instances } = followers
  try {
    const records = await fetchRecords(address, agent)
    operators.receiveRecords(records.operators, records.costs.operators)
    instances?.receiveRecords(records.instances, records.costs.instances)
    return records
  } catch (error) {
    operators.countPeerFailure(error)
    instances?.countPeerFailure(error)
    throw error
  }
}

/** Decodes the text of `encodeRecords`; throws for invalid JSON. */
export function decodeRecords (body: Buffer): RecordSets {
  const sets = JSON.parse(body.toString()) as { readonly operators: readonly EncodedRecord[], readonly instances: readonly EncodedRecord[] }
  return { operators: sets.operators.map(decode), instances: sets.instances.map(decode) }
}

/** Cost of the records of one stream in an answer with those of both: the share of its bytes that these take. */
function costOf (records: readonly KeyedRecord[], others: readonly KeyedRecord[], answer: HttpAnswer): ReadCost {
  const size = sizeOf(records)
  const bytes = Math.round(answer.body.length * size / Math.max(1, size + sizeOf(others)))
  return { bytes, firstByteMilliseconds: answer.firstByteMilliseconds, milliseconds: answer.milliseconds, records: records.length, superseded: 0 }
}

function sizeOf (records: readonly KeyedRecord[]): number {
  return records.reduce((bytes, { key, value }) => bytes + key.length + (value?.length ?? 0), 0)
}

function encode (record: KeyedRecord): EncodedRecord {
  return { key: record.key, value: record.value?.toString('utf8') ?? null, offset: record.offset }
}

function decode (record: EncodedRecord): KeyedRecord {
  return { key: record.key, value: record.value === null ? undefined : Buffer.from(record.value), offset: record.offset }
}
