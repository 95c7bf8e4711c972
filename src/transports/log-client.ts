/** Client of the platform's log over HTTP. */
import { z } from 'zod'
import type { StreamPage } from '../types/platform.js'
import { requestJson } from './http-client.js'

/** Names of the streams that the system uses. */
export const streams = {
  configuration: 'configuration',
  leases: 'leases',
  /** Stream of the claims of one plain service. */
  claims: (service: string) => `claims-${service}`
} as const

const pageSchema = z.object({
  first: z.number().int(),
  next: z.number().int(),
  records: z.array(z.object({ offset: z.number().int(), at: z.number(), body: z.string() }).readonly()).readonly()
}).readonly()
const offsetsSchema = z.object({ offsets: z.array(z.number().int()) })

/** Reads from and appends to the log. An append that rejects may still have taken effect. */
export abstract class LogClient {
  /** Reads records from an offset on; waits until `waitUntil` (epoch milliseconds) for a new record. */
  abstract read (stream: string, from: number, waitUntil: number): Promise<StreamPage>
  /** Appends records and returns their offsets; `deadline` in epoch milliseconds. */
  abstract append (stream: string, bodies: readonly string[], deadline: number): Promise<readonly number[]>
}

/** The log over HTTP. */
export class HttpLogClient extends LogClient {
  constructor (private readonly url: string) {
    super()
  }

  async read (stream: string, from: number, waitUntil: number): Promise<StreamPage> {
    const wait = Math.max(0, waitUntil - Date.now())
    const path = `/streams/${stream}/records?from=${from}&wait=${Math.floor(wait)}`
    return pageSchema.parse(await requestJson({ url: `${this.url}${path}`, method: 'GET', deadline: Date.now() + wait + answerTimeoutMilliseconds }))
  }

  async append (stream: string, bodies: readonly string[], deadline: number): Promise<readonly number[]> {
    const body = { records: bodies }
    return offsetsSchema.parse(await requestJson({ url: `${this.url}/streams/${stream}/records`, method: 'POST', body, deadline })).offsets
  }
}

/** Time for the log's answer in addition to the requested wait, milliseconds. */
const answerTimeoutMilliseconds = 2000
