/** Callers of the deployment. */
import { request } from 'node:http'

let lastNumber = 0

/** The host, key and tenant that the configurations of the cases use. */
export const host = 'jepu9.example'
export const key = 'jnbanfqasnmgkcuyj8pj'
const limits = { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }

/** A configuration with these routes and services; each route gets the fields that it leaves out. */
export function configurationOf (version, routes, services) {
  const tenant = { name: 'bozi300', 'api-keys': [key], priority: 1, 'allowed-regions': [] }
  const complete = routes.map(route => ({ host, priority: 1, 'max-attempts': 2, public: false, sticky: false, resumable: false, 'allowed-regions': [], ...route }))
  return { version, routes: complete, services, limits, tenants: [tenant] }
}

/** Calls an entry; resolves with what the caller saw. */
export function call (address, { method = 'GET', path, body, deadline, agent = false, headers = {}, onHead = () => {} }) {
  lastNumber += 1
  const id = `attempt-${lastNumber}`
  const [ip, port] = address.split(':')
  const startedAt = performance.now()
  return new Promise(resolve => {
    const outgoing = request({ host: ip, port, method, path, agent, headers: { host, 'x-attempt-id': id, 'x-deadline-ms': String(deadline), authorization: `Token ${key}`, ...headers } })
    const finish = result => {
      clearTimeout(timer)
      resolve({ id, milliseconds: Math.round(performance.now() - startedAt), ...result })
    }
    const timer = setTimeout(() => {
      finish({ status: 0, text: '', isComplete: false, reason: 'the deadline of the caller' })
      outgoing.destroy()
    }, deadline + 500)
    outgoing.on('error', error => { finish({ status: 0, text: '', isComplete: false, reason: error.message }) })
    outgoing.on('response', answer => {
      onHead(answer, outgoing)
      const parts = []
      answer.on('data', part => { parts.push(part) })
      answer.on('error', () => {})
      answer.on('close', () => { finish({ status: answer.statusCode, headers: answer.headers, text: Buffer.concat(parts).toString('latin1'), isComplete: answer.complete }) })
    })
    outgoing.end(body)
  })
}

/** Whether an entry says that it is ready. */
export function isReady (ip) {
  return new Promise(resolve => {
    const outgoing = request({ host: ip, port: 8002, path: '/readyz', agent: false, timeout: 500 }, answer => {
      answer.resume()
      resolve(answer.statusCode === 200)
    })
    outgoing.on('error', () => { resolve(false) })
    outgoing.on('timeout', () => { outgoing.destroy() })
    outgoing.end()
  })
}
