/** Records as nodes pass them to each other. */
import type { Agent } from 'node:http'
import { callHttp } from '../transports/http-call.js'
import type { KeyedRecord } from '../types/ports.js'
import { monotonicNow } from '../utils/clock.js'

/** Longest time of a call for records, milliseconds. */
const callTimeoutMilliseconds = 1000

/** Newest records of both streams. */
export interface RecordSets {
  readonly operators: readonly KeyedRecord[]
  readonly instances: readonly KeyedRecord[]
}

interface EncodedRecord { readonly key: string, readonly value: string | null, readonly offset: number }

/** Encodes records for another node. */
export function encodeRecords (sets: RecordSets): string {
  return JSON.stringify({ operators: sets.operators.map(encode), instances: sets.instances.map(encode) })
}

/** Asks another node for its records. */
export async function fetchRecords (address: string, agent: Agent): Promise<RecordSets> {
  const answer = await callHttp({ address, method: 'GET', path: '/records', deadline: monotonicNow() + callTimeoutMilliseconds, agent })
  return decodeRecords(answer.body)
}

/** Decodes what `encodeRecords` made. */
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
