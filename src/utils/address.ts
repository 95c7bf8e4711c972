/** Addresses of processes: an IPv4 address and a port. */
import { isIPv4 } from 'node:net'

const maximumPort = 65_535

/** Parts of an address `ip:port`. */
export interface Address {
  readonly ip: string
  readonly port: number
}

/** Parses `ip:port`; undefined unless it is an IPv4 address with a port that can be connected to. */
export function parseAddress (text: string): Address | undefined {
  const [, ip = '', digits = ''] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? []
  const port = Number(digits)
  return isIPv4(ip) && port >= 1 && port <= maximumPort ? { ip, port } : undefined
}
