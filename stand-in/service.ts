/** Stand-in of a plain service (ledger, booking, portal): answers operations and keeps a register of what it ran. */
import type { Server } from 'node:http'
import { digestBytes } from '../src/utils/digest.js'
import { listenHttp, readBody, readJson } from './http.js'

/** Behaviour and faults that the control port sets. */
export interface ServiceFaults {
  /** Milliseconds that an operation takes. */
  workMilliseconds: number
  /** Whether the answer is lost after the operation ran. */
  loseAnswers: boolean
}

/** One operation that ran. */
export interface RegisterLine { readonly id: string, readonly key: string, readonly operation: string, readonly at: number }

/** The service. */
export class ServiceStandIn {
  readonly behaviour: ServiceFaults = { workMilliseconds: 5, loseAnswers: false }
  readonly register: RegisterLine[] = []
  private running = 0
  highestRunning = 0

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async (request, response, path) => {
      if (path[0] === 'load') return { running: this.running, incarnation: 'service' }
      const id = String(request.headers['pollendyke-request-id'] ?? '')
      const body = await readBody(request)
      this.running += 1
      this.highestRunning = Math.max(this.highestRunning, this.running)
      this.register.push({ id, key: String(request.headers['idempotency-key'] ?? ''), operation: path[1] ?? '', at: Date.now() })
      await new Promise(resolve => setTimeout(resolve, this.behaviour.workMilliseconds))
      this.running -= 1
      if (this.behaviour.loseAnswers) {
        response.destroy()
        return undefined
      }
      return { id, operation: path[1] ?? '', body: digestBytes(body) }
    })
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async request => {
      if (request.method === 'POST') Object.assign(this.behaviour, await readJson<Partial<ServiceFaults>>(request))
      return { behaviour: this.behaviour, register: this.register, highestRunning: this.highestRunning }
    })
  }
}
