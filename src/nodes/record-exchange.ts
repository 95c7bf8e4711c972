/** Exchange of keyed records between nodes over HTTP. */
import type { Agent } from 'node:http'
import { callHttp } from '../transports/http-call.js'
import type { KeyedRecord } from '../types/ports.js'
import { monotonicNow } from '../utils/clock.js'

/** Timeout of a request for records. */
const callTimeoutMilliseconds = 1000

/** Newest record of each key, for both streams. */
export interface RecordSets {
  readonly operators: readonly KeyedRecord[]
  readonly instances: readonly KeyedRecord[]
}

interface EncodedRecord { readonly key: string, readonly value: string | null, readonly offset: number }

/** Encodes records as JSON; a removed value becomes null. */
export function encodeRecords (sets: RecordSets): string {
  return JSON.stringify({ operators: sets.operators.map(encode), instances: sets.instances.map(encode) })
}

/** Requests the records of another node; rejects when it does not answer in time. */
export async function fetchRecords (address: string, agent: Agent): Promise<RecordSets> {
  const answer = await callHttp({ address, method: 'GET', path: '/records', deadline: monotonicNow() + callTimeoutMilliseconds, agent })
  return decodeRecords(answer.body)
}

/** Decodes the text of `encodeRecords`; throws for invalid JSON. */
export function decodeRecords (body: Buffer): RecordSets {
  const sets = JSON.parse(body.toString()) as { readonly operators: readonly EncodedRecord[], readonly instances: readonly EncodedRecord[] }
  return { operators: sets.operators.map(decode), instances: sets.instances.map(decode) }
}

function encode (record: KeyedRecord): EncodedRecord {
  return { key: record.key, value: record.value?.toString('utf8') ?? null, offset: record.offset }
}

function decode (record: EncodedRecord): KeyedRecord {
  return { key: record.key, value: record.value === null ? undefined : Buffer.from(record.value), offset: record.offset }
}
